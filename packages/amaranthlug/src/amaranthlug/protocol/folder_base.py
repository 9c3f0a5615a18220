"""Remembers in a configuration folder the revision that it was made from."""

import json
import pathlib

from result import Err, Ok, Result

BASE_FILE = ".amaranthlug.json"


def load_base(folder: pathlib.Path) -> Result[int | None, str]:
    """Returns the revision of the folder, None when it has no base file."""
    path = folder / BASE_FILE
    if not path.exists():
        return Ok(None)
    try:
        return Ok(int(json.loads(path.read_text())["revision"]))
    except (OSError, ValueError, KeyError, TypeError) as error:
        return Err(
            f"{BASE_FILE}: revision: cannot be read ({error}); remove the file "
            "to publish against the revision in force"
        )


def save_base(folder: pathlib.Path, revision: int) -> None:
    """Writes the revision that the folder now equals."""
    (folder / BASE_FILE).write_text(json.dumps({"revision": revision}) + "\n")
