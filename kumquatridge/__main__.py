"""Runs the command-line tool: `python -m kumquatridge`."""

from kumquatridge.ui import main

if __name__ == "__main__":
    main.main()
