"""Stand-ins for the platform, upstreams and requesters, of the standard library alone.

Everything runs in one asyncio loop; the daemons are separate processes, started with
the `run` line of the deploy file.
"""
