"""Starts the daemon on the platform.

Imports nothing else at first: the imports of the daemon take most of its start,
and a SIGHUP in that time would end the process.
"""

import importlib
import signal

COMMAND_MODULE = "kumquatridge.platform.command"


def main() -> None:
    """Ignores SIGHUP until the daemon handles it, and runs the command.

    The settings file is read after the imports, so that no change is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module(COMMAND_MODULE).main()


if __name__ == "__main__":
    main()
