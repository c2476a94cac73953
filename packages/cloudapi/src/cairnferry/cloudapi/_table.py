"""Table over the JSON protocol of Amazon DynamoDB, version 20120810."""

import hashlib
import json

import attrs
from expression import Error, Ok, Result

from cairnferry.cloudapi._meter import CallMeter
from cairnferry.cloudapi._signing import Signer
from cairnferry.coordination import (
    ConditionFailed,
    Item,
    TableError,
    TableUnavailable,
    Write,
    WriteUnknown,
)
from cairnferry.wire import Client, Incomplete, NotSent, Reply, describe_outcome

TARGET_PREFIX = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"
CANCELLED = "TransactionCanceledException"
TOKEN_LENGTH = 36
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
NUMBER_WIDTH = 20
NO_SORT_KEY = "-"


@attrs.define
class TableClient:
    """Client of one table.

    Parameters
    ----------
    client : Client
        Connection to the service.
    table : str
        Name of the table. Its partition key is `pk` and its sort key `sk`, both
        text.
    signer : Signer
        Signs each request.
    timeout : float
        Seconds for one call.
    """

    client: Client
    table: str
    signer: Signer
    timeout: float
    meter: CallMeter = attrs.field(factory=CallMeter)

    def read(self, key: str) -> Result[Item | None, TableUnavailable]:
        """Read one row, consistently."""
        answer = self._call(
            "GetItem",
            {"TableName": self.table, "Key": _key(key), "ConsistentRead": True},
        )
        if not isinstance(answer, dict):
            return Error(TableUnavailable(describe_outcome(answer)))
        found = answer.get("Item")
        return Ok(_item(key, found) if found else None)

    def read_range(
        self, prefix: str, first: int, last: int
    ) -> Result[list[Item], TableUnavailable]:
        """Read the rows `prefix/first` to `prefix/last`, page by page."""
        items = []
        start = None
        while True:
            query = self._range_query(prefix, first, last, start)
            answer = self._call("Query", query)
            if not isinstance(answer, dict):
                return Error(TableUnavailable(describe_outcome(answer)))
            items.extend(_item(prefix, row) for row in answer["Items"])
            start = answer.get("LastEvaluatedKey")
            if start is None:
                return Ok(items)

    def _range_query(self, prefix, first, last, start):
        query = {
            "TableName": self.table,
            "KeyConditionExpression": "pk = :p AND sk BETWEEN :first AND :last",
            "ExpressionAttributeValues": {
                ":p": {"S": prefix},
                ":first": {"S": _padded(first)},
                ":last": {"S": _padded(last)},
            },
            "ConsistentRead": True,
        }
        if start is not None:
            query["ExclusiveStartKey"] = start
        return query

    def transact(self, writes: tuple[Write, ...]) -> Result[None, TableError]:
        """Write all rows if each condition holds, else none."""
        items = [{"Put": self._put(write)} for write in writes]
        body = json.dumps(items, sort_keys=True)
        token = hashlib.sha256(body.encode()).hexdigest()[:TOKEN_LENGTH]
        answer = self._call(
            "TransactWriteItems",
            {"TransactItems": items, "ClientRequestToken": token},
            write=True,
        )
        if isinstance(answer, dict):
            return Ok(None)
        return Error(_write_error(answer, writes))

    def _put(self, write):
        attributes = _key(write.item.key)
        attributes["version"] = {"N": str(write.item.version)}
        attributes["body"] = {"S": write.item.body}
        put = {"TableName": self.table, "Item": attributes}
        if write.expected_version is None:
            put["ConditionExpression"] = "attribute_not_exists(pk)"
        else:
            put["ConditionExpression"] = "#version = :expected"
            put["ExpressionAttributeNames"] = {"#version": "version"}
            expected = {"N": str(write.expected_version)}
            put["ExpressionAttributeValues"] = {":expected": expected}
        return put

    def _call(self, operation, document, write=False):
        """Give the decoded answer, or the failed outcome of the exchange."""
        body = json.dumps(document).encode()
        headers = [
            ("Content-Type", CONTENT_TYPE),
            ("X-Amz-Target", TARGET_PREFIX + operation),
        ]
        headers = self.signer.sign("POST", self.client.authority, "/", headers, body)
        outcome = self.client.call(
            "POST", "/", timeout=self.timeout, headers=headers, body=body
        )
        good = isinstance(outcome, Reply) and outcome.status == HTTP_OK
        received = len(outcome.body) if isinstance(outcome, Reply) else 0
        self.meter.note(write=write, sent=len(body), received=received, failed=not good)
        return json.loads(outcome.body) if good else outcome


def _write_error(outcome, writes):
    """Say what a failed call proves.

    Only an answer of the service's own with a client error proves that nothing
    was written. A server error, or no answer, may come after the commit.
    """
    match outcome:
        case NotSent():
            return TableUnavailable(describe_outcome(outcome))
        case Incomplete():
            return WriteUnknown(describe_outcome(outcome))
        case Reply(status=status) if status >= HTTP_SERVER_ERROR:
            return WriteUnknown(describe_outcome(outcome))
        case Reply(body=body):
            return _refusal(body, writes)


def _refusal(body, writes):
    try:
        document = json.loads(body)
    except ValueError:
        return TableUnavailable("answer is not JSON")
    name = document.get("__type", "").rpartition("#")[2]
    if name != CANCELLED:
        return TableUnavailable(name)
    reasons = document.get("CancellationReasons", [])
    keys = [
        write.item.key
        for write, reason in zip(writes, reasons, strict=False)
        if reason.get("Code") not in (None, "None")
    ]
    return ConditionFailed(tuple(keys))


def _key(key):
    """Split "prefix/number" so that a range of numbers can be read."""
    prefix, _, number = key.rpartition("/")
    if number.isdecimal():
        return {"pk": {"S": prefix}, "sk": {"S": _padded(int(number))}}
    return {"pk": {"S": key}, "sk": {"S": NO_SORT_KEY}}


def _padded(number):
    return str(number).zfill(NUMBER_WIDTH)


def _item(key, attributes):
    return Item(key, int(attributes["version"]["N"]), attributes["body"]["S"])
