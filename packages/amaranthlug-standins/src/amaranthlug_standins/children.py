"""Child processes of a fleet, each ended by its own id."""

import dataclasses
import json
import pathlib
import subprocess
import sys
import time
from typing import Any

import gevent
from gevent import subprocess as gevent_subprocess

START_LIMIT_S = 20.0
STOP_LIMIT_S = 5.0


class ChildError(Exception):
    """A child process did not start; the message has the end of its output."""


@dataclasses.dataclass
class Child:
    """A child process with its log file."""

    name: str
    process: Any
    log_file: pathlib.Path

    @classmethod
    def spawn(cls, name: str, args: list[str], folder: pathlib.Path) -> "Child":
        """Starts `python -m ARGS` with its standard error in a file."""
        log_file = folder / f"{name}.log"
        with log_file.open("wb") as errors:
            process = gevent_subprocess.Popen(
                [sys.executable, "-m", *args],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        return cls(name, process, log_file)

    def read_ready(self) -> dict[str, str]:
        """Returns the addresses that a stand-in prints when it listens.

        Raises:
            ChildError: The process ended or stayed silent.
        """
        line = b""
        with gevent.Timeout(START_LIMIT_S, False):
            line = self.process.stdout.readline()
        if not line:
            raise ChildError(f"{self.name} did not start: {self.last_lines()}")
        ready: dict[str, str] = json.loads(line)
        return ready

    def running(self) -> bool:
        """Tells whether the process runs."""
        return self.process.poll() is None

    def last_lines(self) -> str:
        """Returns the end of its standard error."""
        return "\n".join(self.log_file.read_text().splitlines()[-12:])

    def terminate(self) -> None:
        """Asks the process to stop in its own time."""
        if self.running():
            self.process.terminate()

    def kill(self) -> None:
        """Ends the process at once."""
        if self.running():
            self.process.kill()
        self.process.wait(timeout=STOP_LIMIT_S)

    def close(self) -> None:
        """Closes the pipes."""
        for pipe in (self.process.stdin, self.process.stdout):
            pipe.close()


def stop_all(children: list[Child], limit_s: float = STOP_LIMIT_S) -> None:
    """Terminates children, and kills those that take longer than the limit."""
    for child in children:
        child.terminate()
    deadline = time.monotonic() + limit_s
    for child in children:
        try:
            child.process.wait(timeout=max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            child.kill()
        child.close()
