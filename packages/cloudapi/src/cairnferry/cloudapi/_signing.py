"""Signature version 4, by the library that the service's owner publishes."""

import configparser

import attrs
from botocore.auth import SigV4Auth
from botocore.awsrequest import AWSRequest
from botocore.credentials import Credentials as BotoCredentials

CREDENTIALS_SECTION = "credentials"


@attrs.frozen
class Credentials:
    """Access to the platform; the secret never shows in a representation."""

    access_key: str
    secret_key: str = attrs.field(repr=False)


@attrs.define
class Signer:
    """Adds the signature to the headers of a request.

    Parameters
    ----------
    credentials : Credentials or None
        None leaves requests unsigned.
    service : str
        Name of the service in the signature's scope, such as "dynamodb".
    region : str
        Region in the signature's scope.
    """

    credentials: Credentials | None
    service: str
    region: str

    def sign(self, method, authority, path, headers, body) -> list[tuple[str, str]]:
        """Give the headers with those of the signature added."""
        if self.credentials is None:
            return list(headers)
        req = AWSRequest(
            method=method,
            url=f"http://{authority}{path}",
            data=body,
            headers=dict(headers),
        )
        keys = BotoCredentials(
            self.credentials.access_key,
            self.credentials.secret_key,
        )
        SigV4Auth(keys, self.service, self.region).add_auth(req)
        return list(req.headers.items())


@attrs.frozen
class CredentialsFault(Exception):
    """The credentials file cannot be used.

    Attributes
    ----------
    path : str
        The file.
    reason : str
        What is wrong, without any part of a secret.
    """

    path: str
    reason: str

    def __str__(self):
        return f"{self.path}: {self.reason}"


def read_credentials(path: str) -> Credentials:
    """Read an INI file with `access_key` and `secret_key` in [credentials].

    Raises
    ------
    CredentialsFault
        If the file cannot be read or lacks a key.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
        section = parser[CREDENTIALS_SECTION]
        return Credentials(section["access_key"], section["secret_key"])
    except OSError as exc:
        raise CredentialsFault(path, f"cannot be read: {exc.strerror}") from None
    except (configparser.Error, UnicodeDecodeError):
        # Their messages quote the line, which may hold the secret.
        raise CredentialsFault(path, "is not INI") from None
    except KeyError as exc:
        raise CredentialsFault(path, f"lacks {exc}") from None
