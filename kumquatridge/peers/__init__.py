"""Control messages between daemons, over pynng or HTTP."""
