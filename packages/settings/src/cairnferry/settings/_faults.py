"""Errors in settings."""

import attrs


@attrs.frozen
class SettingFault:
    """One invalid entry of the settings.

    Attributes
    ----------
    source : str
        Path of the file, or "options" for the command line.
    section, key : str
        Section and key of the entry; "-" if the error concerns more than one key.
    expected : str
        Description of the error, usually the value that was expected.
    """

    source: str
    section: str
    key: str
    expected: str

    def __str__(self):
        return f"{self.source}: [{self.section}] {self.key}: {self.expected}"
