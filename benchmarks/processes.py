"""Child processes of the benchmarks."""

import json
import pathlib
import subprocess
import sys
from typing import Any

import psutil

BENCHMARK_DIR = pathlib.Path(__file__).resolve().parent
STOP_TIMEOUT_S = 5.0
"""Time that a child has to exit before it is killed."""


class Child:
    """A Python process that writes JSON objects, one a line."""

    def __init__(self, arguments: list[str]):
        """Starts the process; it exits when its standard input closes."""
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.address = ""
        self.stats = psutil.Process(self.process.pid)

    def read(self) -> dict[str, Any]:
        """Returns the next JSON object of the output.

        Raises:
            RuntimeError: The process exited without another line.
        """
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.process.args} exited without output")
        return json.loads(line)

    def cpu_s(self) -> float:
        """Returns the CPU time used so far, in seconds."""
        times = self.stats.cpu_times()
        return times.user + times.system

    def memory_mb(self) -> float:
        """Returns the resident memory in megabytes."""
        return self.stats.memory_info().rss / 1e6

    def stop(self) -> None:
        """Terminates the process, and kills it after the timeout."""
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()


def start_engine(version: str, pace: dict[str, float]) -> tuple[Child, str]:
    """Starts a stand-in engine; returns it and its address."""
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
    return Child([str(BENCHMARK_DIR / name), *arguments])
