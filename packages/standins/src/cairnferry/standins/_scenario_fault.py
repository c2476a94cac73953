"""Exception for a failed scenario."""


class ScenarioFault(AssertionError):
    """A step that cannot be carried out, or a check that fails."""
