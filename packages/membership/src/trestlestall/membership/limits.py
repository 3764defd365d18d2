"""Bounds on input from upstreams and peers, and types that enforce them.

They bound memory and arithmetic whatever an upstream or a peer sends. They are far
above need: the largest known deployment has 35 models and names of about 20 letters.
"""

import typing

import msgspec

MAX_NAME_LENGTH = 128
MAX_NAME_COUNT = 500
MAX_COUNT = 10**7
MAX_INTEGER = 2**53
MAX_LEASE_SECONDS = 600
MAX_AGE_SECONDS = 10**6
MAX_TIME_SECONDS = 10**11

Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Names = typing.Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_NAME_COUNT)]
Incarnation = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Time = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_SECONDS)]
Lease = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_LEASE_SECONDS)]
Age = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_SECONDS)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
