"""Child processes of a fleet."""

import dataclasses
import json
import pathlib
import subprocess
import sys
import time
from typing import Any

import gevent
from gevent import subprocess as gevent_subprocess

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0


class ChildError(Exception):
    """A child process did not start; the message has the end of its log."""


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

    def read_addresses(self) -> dict[str, str]:
        """Reads the addresses that a stand-in prints once it listens.

        Raises:
            ChildError: The process exited or printed nothing in time.
        """
        line = b""
        with gevent.Timeout(START_TIMEOUT_S, False):
            line = self.process.stdout.readline()
        if not line:
            raise ChildError(f"{self.name} did not start: {self.log_tail()}")
        ready: dict[str, str] = json.loads(line)
        return ready

    def running(self) -> bool:
        """Returns whether the process has not exited."""
        return self.process.poll() is None

    def log_tail(self) -> str:
        """Returns the last lines that the process wrote to standard error."""
        return "\n".join(self.log_file.read_text().splitlines()[-12:])

    def terminate(self) -> None:
        """Sends SIGTERM to the process if it still runs."""
        if self.running():
            self.process.terminate()

    def kill(self) -> None:
        """Kills the process and waits for it."""
        if self.running():
            self.process.kill()
        self.process.wait(timeout=STOP_TIMEOUT_S)

    def close(self) -> None:
        """Closes the pipes to the process."""
        for pipe in (self.process.stdin, self.process.stdout):
            pipe.close()


def stop_all(children: list[Child], timeout_s: float = STOP_TIMEOUT_S) -> None:
    """Terminates children and kills those that outlast the time-out."""
    for child in children:
        child.terminate()
    deadline = time.monotonic() + timeout_s
    for child in children:
        try:
            child.process.wait(timeout=max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            child.kill()
        child.close()
