"""Faults of settings."""

import attrs


@attrs.frozen
class SettingFault:
    """One wrong line of the settings.

    Attributes
    ----------
    source : str
        File, or "options" for the command line.
    section, key : str
        Where it stands; either may be "-" if the fault is wider.
    expected : str
        What was expected there.
    """

    source: str
    section: str
    key: str
    expected: str

    def __str__(self):
        return f"{self.source}: [{self.section}] {self.key}: {self.expected}"
