"""Keys shared by the peers, with rotation."""

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
        What is wrong; contains no part of a key.
    """

    path: str
    reason: str

    def __str__(self):
        return f"{self.path}: {self.reason}"


@attrs.define
class KeyRing:
    """Keys from a file with one key in hexadecimal digits on each line.

    The first key authenticates connections that this daemon opens; every key is
    accepted from peers. To rotate keys without a restart, append the new key to the
    files of all daemons, then move it to the first line of all files, then remove
    the old key.

    Parameters
    ----------
    path : str
        The file; it is read again when its modification time, size or inode changes.
    """

    path: str
    _keys: tuple[bytes, ...] = attrs.field(default=(), repr=False)
    _stamp: tuple = ()

    def load(self) -> None:
        """Read the file if it has changed.

        Raises
        ------
        KeyFileFault
            If the file cannot be used; keys read earlier stay in use.
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
            raise KeyFileFault(self.path, "contains no key")
        if any(len(key) < MIN_KEY_BYTES for key in keys):
            reason = f"a key has fewer than {MIN_KEY_BYTES} bytes"
            raise KeyFileFault(self.path, reason)
        return keys

    def own_key(self) -> bytes:
        """Return the key for connections that this daemon opens.

        Raises
        ------
        KeyFileFault
            If the file cannot be used and no key was read earlier.
        """
        self._reload()
        return self._keys[0]

    def find_key(self, key_id: bytes) -> bytes | None:
        """Return the key with an identifier, or None if there is none.

        Raises
        ------
        KeyFileFault
            If the file cannot be used and no key was read earlier.
        """
        self._reload()
        for key in self._keys:
            if identify(key) == key_id:
                return key
        return None

    def _reload(self):
        # A file that is being replaced may be unreadable for a moment. Without
        # keys, the peers would lose contact with each other.
        try:
            self.load()
        except KeyFileFault:
            if not self._keys:
                raise


@attrs.define
class SharedKey:
    """One key that is set after the start, for daemons without a key file.

    Every handshake fails until the key is set, as it would with a wrong key.
    """

    _key: bytes = attrs.field(default=b"", repr=False)

    @property
    def is_set(self) -> bool:
        """Whether the key is set."""
        return bool(self._key)

    def set(self, key: bytes) -> None:
        """Set the key.

        Raises
        ------
        ValueError
            If the key has fewer than `MIN_KEY_BYTES` bytes.
        """
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(f"a key has fewer than {MIN_KEY_BYTES} bytes")
        self._key = key

    def own_key(self) -> bytes:
        """Return the key for connections that this daemon opens.

        Raises
        ------
        KeyFileFault
            If the key is not set.
        """
        if not self._key:
            raise KeyFileFault("shared key", "not set yet")
        return self._key

    def find_key(self, key_id: bytes) -> bytes | None:
        """Return the key if it has this identifier, or None.

        Raises
        ------
        KeyFileFault
            If the key is not set.
        """
        key = self.own_key()
        return key if identify(key) == key_id else None


def identify(key: bytes) -> bytes:
    """Return a short identifier that does not reveal the key."""
    return hashlib.blake2b(key, digest_size=KEY_ID_BYTES).digest()
