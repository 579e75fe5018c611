"""The API for announcements of workers and for operators."""
