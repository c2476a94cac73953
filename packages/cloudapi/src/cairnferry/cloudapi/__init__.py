"""Clients of the platform: table service, object store and instance list.

The services use published protocols: the JSON protocol of Amazon DynamoDB (version
20120810), the REST protocol of Amazon S3, and the HTTP service discovery format of
Prometheus. The clients do not retry calls.
"""

from cairnferry.cloudapi._instances import Instance, InstanceList
from cairnferry.cloudapi._meter import CallMeter
from cairnferry.cloudapi._objects import ObjectStore, ObjectStoreUnavailable
from cairnferry.cloudapi._signing import (
    Credentials,
    CredentialsFault,
    Signer,
    read_credentials,
)
from cairnferry.cloudapi._table import TableClient

__all__ = [
    "CallMeter",
    "Credentials",
    "CredentialsFault",
    "Instance",
    "InstanceList",
    "ObjectStore",
    "ObjectStoreUnavailable",
    "Signer",
    "TableClient",
    "read_credentials",
]
