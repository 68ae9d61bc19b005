"""At which versions of a service's software a stream may run.

What two versions write does not fit together, and engines do not check it. Versions are
equal or not; they have no order.
"""

from typing import NamedTuple


class VersionRequirement(NamedTuple):
    """Version that a server's software must have to run a request.

    Attributes:
        has_begun: Whether the caller may have an event of the stream already.
        version: Version at which the stream began, or empty if unknown.
    """

    has_begun: bool
    version: str


ANY_VERSION = VersionRequirement(False, "")


def begun_at(version: str) -> VersionRequirement:
    """Return the requirement of a stream that began at a version."""
    return VersionRequirement(True, version)


def is_met(requirement: VersionRequirement, version: str) -> bool:
    """Return whether a server of a version may run a request.

    An unknown version equals no version, not even another unknown one.
    """
    if not requirement.has_begun:
        return True
    return bool(version) and version == requirement.version
