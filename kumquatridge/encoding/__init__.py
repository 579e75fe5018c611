"""Texts and bytes of settings and messages, through codec libraries."""
