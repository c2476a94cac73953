"""Values of optional fields, the same in each schema version."""

RETRY_RATIO = 0.1
QUEUE_LIMIT = 64
HEALTH_PATH = "/health"
REFUSAL_STATUS = 503

# Methods that RFC 9110, section 9.2.2 calls idempotent.
IDEMPOTENT_METHODS = frozenset(
    ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"],
)
