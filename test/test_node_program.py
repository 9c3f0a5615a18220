"""Tests of the program that the platform starts, as a process."""

import pathlib
import signal
import subprocess
import sys

import pytest
from _common import ROOT
from _platform_fleet import wait_for

BAD_SETTINGS = 2
"""Exit status of a node without valid settings."""


def ignores_hangup(process: subprocess.Popen) -> bool:
    """Returns whether a running process ignores SIGHUP."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith("SigIgn:")
    ]
    return any(mask & 1 << (signal.SIGHUP - 1) for mask in masks)


# Guards against nodes that ended when changed settings were signalled while the
# program was starting; soak seed 3302.
@pytest.mark.processes
def test_signal_of_changed_settings_does_not_end_a_node_that_starts(tmp_path):
    """The default action of the signal is to end the process."""
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "platform" / "run_node.py")],
        env={"AMARANTHLUG_BOOT": str(tmp_path / "missing")},
        stderr=subprocess.DEVNULL,
    )
    wait_for(lambda: process.poll() is not None or ignores_hangup(process))
    assert process.poll() is None
    process.send_signal(signal.SIGHUP)
    assert process.wait(20) == BAD_SETTINGS
