"""Calls a node with the official OpenAI client; prints the results as JSON."""

import json
import sys

import openai


def main(address, key):
    """Sends a whole, a streamed and an invalid request."""
    client = openai.OpenAI(
        api_key=key,
        base_url=f"http://{address}/v1",
        default_headers={"X-Request-Kind": "describe"},
        max_retries=0,
    )
    messages = [{"role": "user", "content": "Olá"}]
    whole = client.chat.completions.create(model="auto", messages=messages)
    stream = client.chat.completions.create(
        model="auto",
        messages=messages,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(stream)
    try:
        client.chat.completions.create(model="auto", messages=[])
        refused = ""
    except openai.BadRequestError as error:
        refused = error.body["code"]
    deltas = [c.delta.content or "" for x in chunks for c in x.choices]
    result = {
        "whole": whole.choices[0].message.content,
        "whole_tokens": whole.usage.completion_tokens,
        "streamed": "".join(deltas),
        "streamed_tokens": chunks[-1].usage.completion_tokens,
        "cost": chunks[-1].amaranthlug["cost"],
        "refused": refused,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main(*sys.argv[1:])
