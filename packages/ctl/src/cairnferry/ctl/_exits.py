"""Exit codes, which are the same for every command."""

import enum
import json
import sys

from cairnferry.ctl._api import ApiError, Unreachable


class ExitCode(enum.IntEnum):
    """Exit codes of the tool."""

    OK = 0
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNAVAILABLE = 6


_BY_STATUS = {
    401: ExitCode.REFUSED,
    409: ExitCode.CONFLICT,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNKNOWN,
}

_NEXT_STEP = {
    ExitCode.REFUSED: "nothing was changed; mend the input and submit again",
    ExitCode.CONFLICT: "nothing was changed; read the records again and decide anew",
    ExitCode.UNKNOWN: "ask later with `cairnferry change show {change_id}`, or send "
    "the same files again with `--change-id {change_id}`",
    ExitCode.UNAVAILABLE: "nothing was changed; try again later",
}


def fail(error: ApiError | Unreachable, change_id: str | None, as_json: bool) -> None:
    """Report an error and the next step for the operator, and exit."""
    match error:
        case ApiError(status, document):
            code = _BY_STATUS.get(status, ExitCode.REFUSED)
            message = document.get("message") or document.get("error", "error")
            if status == 401:
                message = "the token is missing or unknown (--token-file)"
        case Unreachable(address, sent, reason):
            document = {"error": "unreachable", "address": address, "reason": reason}
            message = f"{address} did not respond ({reason})"
            outcome_unknown = sent and change_id is not None
            code = ExitCode.UNKNOWN if outcome_unknown else ExitCode.UNAVAILABLE
    if as_json:
        print(json.dumps({**document, "exit": code.name.lower()}, indent=1))
    step = _NEXT_STEP[code].format(change_id=change_id)
    print(f"cairnferry: {message}\ncairnferry: {step}", file=sys.stderr)
    sys.exit(code)
