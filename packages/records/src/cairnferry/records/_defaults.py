"""Default values of optional fields, shared by all schema versions."""

RETRY_RATIO = 0.1
QUEUE_LIMIT = 64
HEALTH_PATH = "/health"
REFUSAL_STATUS = 503
# Rate and burst of a workspace without a limit.
UNLIMITED = 0

# Idempotent methods according to RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset(
    ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"],
)
