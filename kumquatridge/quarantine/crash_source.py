"""Dissemination of crash entries by gossip.

A daemon requests the entries of which a peer has a higher version than it has
itself. The version of an entry is the number of its crashes plus the number of
its cleared crashes; ids are only ever added to an entry. `revision` is one
number for all entries: it tells this daemon that some entry changed, and is
never sent.
"""

from collections.abc import Iterable, Mapping

from kumquatridge.quarantine import crash_registry


class CrashSource:
    """Makes the entries of a crash registry available to gossip."""

    def __init__(self, crashes: crash_registry.CrashRegistry) -> None:
        self._crashes = crashes

    @property
    def revision(self) -> int:
        """A number that grows when the content of any entry changes."""
        return self._crashes.revision

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each fingerprint's entry."""
        return {
            entry.fingerprint: len(entry.crashes) + len(entry.cleared)
            for entry in self._crashes.export()
        }

    def export(
        self, keys: Iterable[str]
    ) -> tuple[crash_registry.CrashEntry, ...]:
        """Returns the entries whose fingerprints are in `keys`."""
        requested = frozenset(keys)
        return tuple(
            entry
            for entry in self._crashes.export()
            if entry.fingerprint in requested
        )

    def merge(self, entries: Iterable[crash_registry.CrashEntry]) -> None:
        """Merges the entries of another daemon."""
        self._crashes.merge(entries)
