"""The instances of a data centre and what is known of each."""
