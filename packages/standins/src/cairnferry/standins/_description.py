"""Description of a process, for the report of a failure."""

import pathlib

# Lines of a log in a description.
LOG_LINES = 15


def describe_process(process, folder: pathlib.Path) -> str:
    """Return whether a process runs, its status, and the end of its log.

    Parameters
    ----------
    process : Process
        The process. The status of a daemon that does not respond is None.
    folder : pathlib.Path
        Folder of the logs.
    """
    code = process.popen.poll()
    state = "running" if code is None else f"ended with {code}"
    lines = [f"{process.name} (process {process.popen.pid}): {state}"]
    if code is None and "operators" in process.addresses:
        lines.append(f"  status: {process.read('operators', '/v1/status')}")
    log = folder / f"{process.name}.log"
    if log.exists():
        ends = log.read_text(errors="replace").splitlines()[-LOG_LINES:]
        lines += [f"  {line}" for line in ends]
    return "\n".join(lines)
