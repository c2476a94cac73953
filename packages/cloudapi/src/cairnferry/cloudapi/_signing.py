"""Request signing with AWS Signature Version 4, using botocore."""

import configparser

import attrs
from botocore.auth import SigV4Auth
from botocore.awsrequest import AWSRequest
from botocore.credentials import Credentials as BotoCredentials

CREDENTIALS_SECTION = "credentials"


@attrs.frozen
class Credentials:
    """Credentials of the platform; the representation hides the secret."""

    access_key: str
    secret_key: str = attrs.field(repr=False)


@attrs.define
class Signer:
    """Adds a signature to the headers of a request.

    Parameters
    ----------
    credentials : Credentials or None
        Credentials; None leaves requests unsigned.
    service : str
        Service in the scope of the signature, such as "dynamodb".
    region : str
        Region in the scope of the signature.
    """

    credentials: Credentials | None
    service: str
    region: str

    def sign(self, method, authority, path, headers, body) -> list[tuple[str, str]]:
        """Return the headers together with those of the signature."""
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
        Path of the file.
    reason : str
        Description of the error, without any part of a secret.
    """

    path: str
    reason: str

    def __str__(self):
        return f"{self.path}: {self.reason}"


def read_credentials(path: str) -> Credentials:
    """Read `access_key` and `secret_key` from section [credentials] of an INI file.

    Raises
    ------
    CredentialsFault
        If the file cannot be read or a key is missing.
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
        # The messages of these errors quote the line, which may contain the secret.
        raise CredentialsFault(path, "is not INI") from None
    except KeyError as exc:
        raise CredentialsFault(path, f"has no section or key {exc}") from None
