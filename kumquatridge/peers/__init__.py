"""Control messages between daemons, over pynng."""
