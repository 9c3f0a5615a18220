"""Stores the base revision of a configuration folder in the folder."""

import json
import pathlib

from result import Err, Ok, Result

BASE_FILE = ".amaranthlug.json"


def load_base(folder: pathlib.Path) -> Result[int | None, str]:
    """Returns the base revision of the folder, None if it has no base file.

    Returns an error message if the file cannot be read.
    """
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
    """Stores the revision that the folder now matches."""
    (folder / BASE_FILE).write_text(json.dumps({"revision": revision}) + "\n")
