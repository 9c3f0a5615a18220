"""Fake router that can break promises, to test load and counts alone."""

import json
import time
import uuid

import falcon

from amaranthlug.state.catalog import VersionId
from amaranthlug_standins.answers import (
    answer_words,
    last_user_message,
    prompt_digest,
)
from amaranthlug_standins.builders import CHEAP
from amaranthlug_standins.standin import StandIn


class FakeRouter(StandIn):
    """Answers every chat itself; `broken` names a fault to inject."""

    def add_routes(self):
        """Initialises the state and routes all paths to `answer`."""
        self.runs = []
        self.bills = []
        self.broken = ""
        self.version = CHEAP
        self.app.add_sink(self.answer, prefix="/")

    def seen(self):
        """Returns the runs, as `/seen` of an engine does, and the bills."""
        return {"runs": self.runs, "bills": self.bills}

    def answer(self, req, resp, **parts):
        """Answers entry, service and chat requests."""
        if req.path == "/v1/entry":
            entry = {"address": self.address, "zone": "z"}
            resp.media = {"entries": [entry], "ttl_s": 5}
        elif req.path.startswith("/v1/services/"):
            resp.media = {"ran": 1, "key": ""}
        elif self.broken == "refuse_after_run":
            self.run(req)
            resp.status = falcon.HTTP_503
            resp.media = {"error": {"code": "overloaded", "not_run": True}}
        else:
            self.chat(req, resp)

    def run(self, req):
        """Records a run and its bill; returns the prompt and request id."""
        prompt = last_user_message(req.media["messages"])
        request_id = uuid.uuid4().hex
        digest = prompt_digest(prompt)
        now = time.time()
        self.runs.append(
            {
                "request_id": request_id,
                "version": self.version,
                "digest": digest,
                "generated": 3,
                "started_at": now,
                "first_at": now,
            }
        )
        if self.broken != "no_bill":
            self.bills.append(request_id)
        return prompt, request_id

    def chat(self, req, resp):
        """Answers a chat, as one body or as an event stream."""
        prompt, request_id = self.run(req)
        if self.broken in ("bill_twice", "run_twice"):
            prompt, request_id = self.run(req)
        words = answer_words(prompt, self.version, True)
        if self.broken == "cut":
            words = words[:-1]
        text = " ".join(words)
        model, version = self.version.split("@")
        resp.set_header("X-Request-Id", request_id)
        resp.set_header("X-Model", model)
        resp.set_header("X-Version", str(VersionId.parse(self.version)))
        resp.set_header("X-Cost", "5")
        if not req.media["stream"]:
            resp.media = {"choices": [{"message": {"content": text}}]}
            return
        extra = {"request_id": request_id, "model": model, "version": version}
        last = {"choices": [], "amaranthlug": {**extra, "cost": 5}}
        chunks = [{"choices": [{"delta": {"content": text}}]}, last]
        events = [f"data: {json.dumps(chunk)}\n\n" for chunk in chunks]
        resp.content_type = "text/event-stream"
        resp.text = "".join(events) + "data: [DONE]\n\n"
