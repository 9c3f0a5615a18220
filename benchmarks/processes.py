"""Child processes of the benchmark: started, read and ended by id."""

import json
import pathlib
import subprocess
import sys
from typing import Any

import psutil

ROOT = pathlib.Path(__file__).resolve().parent
STOP_S = 5.0
"""Time a child has to end, in seconds."""


class Child:
    """One process whose first line of output is a JSON object."""

    def __init__(self, arguments: list[str]):
        """Starts a Python process; it ends with its standard input."""
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.address = ""
        self.stats = psutil.Process(self.process.pid)

    def read(self) -> dict[str, Any]:
        """Returns the next line of output.

        Raises:
            RuntimeError: The process ended without a line.
        """
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.process.args} ended without output")
        return json.loads(line)

    def cpu_s(self) -> float:
        """Returns the CPU time used so far, in seconds."""
        times = self.stats.cpu_times()
        return times.user + times.system

    def memory_mb(self) -> float:
        """Returns resident memory in megabytes."""
        return self.stats.memory_info().rss / 1e6

    def stop(self) -> None:
        """Ends the process."""
        self.process.terminate()
        try:
            self.process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.process.kill()


def start_engine(version: str, pace: dict[str, float]) -> tuple[Child, str]:
    """Starts a stand-in engine; returns it with its address."""
    config = json.dumps({"versions": [version], "pace": pace})
    child = Child(
        [
            "-m",
            "amaranthlug_standins.engine",
            "--watch-stdin",
            "--config",
            config,
        ]
    )
    return child, child.read()["address"]


def start_script(name: str, *arguments: str) -> Child:
    """Starts a script of this directory."""
    return Child([str(ROOT / name), *arguments])
