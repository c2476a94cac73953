"""Stand-in for the table service: the operations that the product uses."""

import json

import attrs

MAX_TRANSACTION = 100
MAX_ITEM_BYTES = 400 * 1024
QUERY_PAGE_BYTES = 1024 * 1024
ERROR_PREFIX = "com.amazonaws.dynamodb.v20120810#"


@attrs.frozen
class Refused(Exception):
    """The service's own refusal.

    Attributes
    ----------
    name : str
        Name of the error.
    fields : dict
        Further fields of the answer.
    """

    name: str
    fields: dict

    def document(self) -> dict:
        """Give the answer's body."""
        return {"__type": ERROR_PREFIX + self.name, **self.fields}


@attrs.define
class TableStandin:
    """Rows in memory, by partition and sort key."""

    rows: dict[tuple[str, str], dict] = attrs.field(factory=dict)
    reads: int = 0
    writes: int = 0

    def handle(self, operation: str, document: dict) -> dict:
        """Carry out an operation.

        Raises
        ------
        Refused
            If the service would refuse it.
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
        return _page(found)

    def _transact(self, document):
        self.writes += 1
        puts = [item["Put"] for item in document["TransactItems"]]
        if len(puts) > MAX_TRANSACTION:
            raise Refused("ValidationException", {"message": "too many items"})
        if any(len(json.dumps(put["Item"])) > MAX_ITEM_BYTES for put in puts):
            raise Refused("ValidationException", {"message": "item too large"})
        reasons = [self._reason(put) for put in puts]
        if any(reason["Code"] != "None" for reason in reasons):
            raise Refused(
                "TransactionCanceledException", {"CancellationReasons": reasons}
            )
        for put in puts:
            self.rows[_key(put["Item"])] = put["Item"]
        return {}

    def _reason(self, put):
        row = self.rows.get(_key(put["Item"]))
        condition = put["ConditionExpression"]
        if condition == "attribute_not_exists(pk)":
            holds = row is None
        else:
            expected = put["ExpressionAttributeValues"][":expected"]
            holds = row is not None and row["version"] == expected
        return {"Code": "None" if holds else "ConditionalCheckFailed"}


def _key(attributes):
    return attributes["pk"]["S"], attributes["sk"]["S"]


def _page(rows):
    """Cut an answer as the service does, at a size."""
    size = 0
    for index, row in enumerate(rows):
        size += len(json.dumps(row))
        if size > QUERY_PAGE_BYTES and index:
            last = rows[index - 1]
            key = {"pk": last["pk"], "sk": last["sk"]}
            return {"Items": rows[:index], "LastEvaluatedKey": key}
    return {"Items": rows}
