"""Signals that arrive while the daemon starts."""

import importlib
import signal
import subprocess
import sys

import pytest

from kumquatridge.platform import main


# Guards against a process that is ended by SIGHUP while it imports its modules.
def test_hang_up_is_ignored_before_the_imports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Command:
        """Stands for the module of the command."""

        @staticmethod
        def main() -> None:
            """Does nothing."""

    def import_module(name: str) -> type[Command]:
        handlers.append(signal.getsignal(signal.SIGHUP))
        return Command

    handlers: list[object] = []
    monkeypatch.setattr(importlib, "import_module", import_module)
    previous = signal.getsignal(signal.SIGHUP)
    try:
        main.main()
    finally:
        signal.signal(signal.SIGHUP, previous)
    assert handlers == [signal.SIG_IGN]


def test_program_imports_nothing_else_at_first() -> None:
    code = (
        "import sys, kumquatridge.platform.main;"
        "print(*(m for m in sys.modules if m.startswith('kumquatridge')))"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    ).stdout
    assert output.split() == [
        "kumquatridge",
        "kumquatridge.platform",
        "kumquatridge.platform.main",
    ]
