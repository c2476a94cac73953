"""Stand-in for the table service, with the operations that the product uses."""

import json

import attrs

MAX_TRANSACTION_ITEMS = 100
MAX_ITEM_BYTES = 400 * 1024
QUERY_PAGE_BYTES = 1024 * 1024
ERROR_PREFIX = "com.amazonaws.dynamodb.v20120810#"


@attrs.frozen
class Refused(Exception):
    """An error response of the table service.

    Attributes
    ----------
    name : str
        Name of the error.
    fields : dict
        Further fields of the response.
    """

    name: str
    fields: dict

    def document(self) -> dict:
        """Return the body of the response."""
        return {"__type": ERROR_PREFIX + self.name, **self.fields}


@attrs.define
class TableStandin:
    """Table in memory.

    Attributes
    ----------
    rows : dict of (str, str) to dict
        Rows by partition key and sort key.
    reads, writes : int
        Number of read and write operations so far.
    """

    rows: dict[tuple[str, str], dict] = attrs.field(factory=dict)
    reads: int = 0
    writes: int = 0

    def handle(self, operation: str, document: dict) -> dict:
        """Run an operation and return its response.

        Raises
        ------
        Refused
            If the table service would respond with an error.
        """
        match operation:
            case "GetItem":
                return self._get(document)
            case "Query":
                return self._query(document)
            case "TransactWriteItems":
                return self._transact(document)
        raise Refused("UnknownOperationException", {})

    def _get(self, document):
        self.reads += 1
        row = self.rows.get(_key(document["Key"]))
        return {} if row is None else {"Item": row}

    def _query(self, document):
        self.reads += 1
        values = document["ExpressionAttributeValues"]
        prefix, first, last = (values[n]["S"] for n in (":p", ":first", ":last"))
        start = document.get("ExclusiveStartKey")
        after = _key(start)[1] if start else ""
        found = [
            row
            for (pk, sk), row in sorted(self.rows.items())
            if pk == prefix and first <= sk <= last and sk > after
        ]
        return _paginate(found)

    def _transact(self, document):
        self.writes += 1
        puts = [item["Put"] for item in document["TransactItems"]]
        if len(puts) > MAX_TRANSACTION_ITEMS:
            raise Refused("ValidationException", {"message": "too many items"})
        if any(len(json.dumps(put["Item"])) > MAX_ITEM_BYTES for put in puts):
            raise Refused("ValidationException", {"message": "item too large"})
        reasons = [self._check_condition(put) for put in puts]
        if any(reason["Code"] != "None" for reason in reasons):
            raise Refused(
                "TransactionCanceledException", {"CancellationReasons": reasons}
            )
        for put in puts:
            self.rows[_key(put["Item"])] = put["Item"]
        return {}

    def _check_condition(self, put):
        row = self.rows.get(_key(put["Item"]))
        condition = put["ConditionExpression"]
        if condition == "attribute_not_exists(pk)":
            is_met = row is None
        else:
            expected = put["ExpressionAttributeValues"][":expected"]
            is_met = row is not None and row["version"] == expected
        return {"Code": "None" if is_met else "ConditionalCheckFailed"}


def _key(attributes):
    return attributes["pk"]["S"], attributes["sk"]["S"]


def _paginate(rows):
    """Return the rows of the first page, whose size is limited as by the service."""
    size = 0
    for index, row in enumerate(rows):
        size += len(json.dumps(row))
        if size > QUERY_PAGE_BYTES and index:
            last = rows[index - 1]
            key = {"pk": last["pk"], "sk": last["sk"]}
            return {"Items": rows[:index], "LastEvaluatedKey": key}
    return {"Items": rows}
