"""Shared keys of the peers, with rotation."""

import hashlib
import os

import attrs

KEY_ID_BYTES = 8
MIN_KEY_BYTES = 16


@attrs.frozen
class KeyFileFault(Exception):
    """The key file cannot be used.

    Attributes
    ----------
    path : str
        The file.
    reason : str
        What is wrong, without any part of a key.
    """

    path: str
    reason: str

    def __str__(self):
        return f"{self.path}: {self.reason}"


@attrs.define
class KeyRing:
    """Keys from a file, one in hexadecimal digits on each line.

    The first key is used for own calls, every key is accepted from others. To
    rotate, add the new key as the last one everywhere, then move it to the
    front everywhere, then remove the old one. No restart is needed.

    Parameters
    ----------
    path : str
        The file; it is read again when its time of change differs.
    """

    path: str
    _keys: tuple[bytes, ...] = attrs.field(default=(), repr=False)
    _stamp: tuple = ()

    def load(self) -> None:
        """Read the file if it changed.

        Raises
        ------
        KeyFileFault
            If it cannot be used; keys read before stay in use.
        """
        try:
            stat = os.stat(self.path)
            stamp = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            if stamp == self._stamp:
                return
            with open(self.path, encoding="ascii") as file:
                lines = [line.strip() for line in file]
        except (OSError, UnicodeDecodeError) as exc:
            raise KeyFileFault(self.path, type(exc).__name__) from exc
        self._keys = self._parse([line for line in lines if line])
        self._stamp = stamp

    def _parse(self, lines):
        try:
            keys = tuple(bytes.fromhex(line) for line in lines)
        except ValueError as exc:
            raise KeyFileFault(self.path, "a line is not hexadecimal") from exc
        if not keys:
            raise KeyFileFault(self.path, "holds no key")
        if any(len(key) < MIN_KEY_BYTES for key in keys):
            reason = f"a key has fewer than {MIN_KEY_BYTES} bytes"
            raise KeyFileFault(self.path, reason)
        return keys

    def own(self) -> bytes:
        """Give the key for own calls."""
        self._reload()
        return self._keys[0]

    def find(self, key_id: bytes) -> bytes | None:
        """Give the key with an identifier."""
        self._reload()
        for key in self._keys:
            if identify(key) == key_id:
                return key
        return None

    def _reload(self):
        # A file that is being replaced may be unreadable for a moment. Peers
        # would lose each other if that emptied the ring.
        try:
            self.load()
        except KeyFileFault:
            if not self._keys:
                raise


@attrs.define
class SharedKey:
    """One key that is learnt after the start, where there is no file to hold it.

    Until it is known every handshake fails, as it would with a wrong one.
    """

    _key: bytes = attrs.field(default=b"", repr=False)

    @property
    def is_set(self) -> bool:
        """Whether the key is known."""
        return bool(self._key)

    def set(self, key: bytes) -> None:
        """Use a key from now on.

        Raises
        ------
        ValueError
            If it is too short to be one.
        """
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(f"a key has fewer than {MIN_KEY_BYTES} bytes")
        self._key = key

    def own(self) -> bytes:
        """Give the key for own calls."""
        if not self._key:
            raise KeyFileFault("shared key", "not known yet")
        return self._key

    def find(self, key_id: bytes) -> bytes | None:
        """Give the key with an identifier."""
        key = self.own()
        return key if identify(key) == key_id else None


def identify(key: bytes) -> bytes:
    """Give a short identifier of a key that does not reveal it."""
    return hashlib.blake2b(key, digest_size=KEY_ID_BYTES).digest()
