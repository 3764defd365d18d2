"""Types with the bounds that input from outside must keep, and their figures.

The bounds keep memory and arithmetic finite whatever an upstream or a peer sends. They
are generous: the largest deployment known has 35 models and names of about 20 letters.
"""

import typing

import msgspec

NAME_LENGTH = 128
NAME_COUNT = 500
LARGEST_COUNT = 10**7
LARGEST_INTEGER = 2**53
LONGEST_LEASE = 600
LARGEST_AGE = 10**6
LARGEST_TIME = 10**11

Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_LENGTH)]
Text = typing.Annotated[str, msgspec.Meta(max_length=NAME_LENGTH)]
Names = typing.Annotated[tuple[Name, ...], msgspec.Meta(max_length=NAME_COUNT)]
Incarnation = typing.Annotated[int, msgspec.Meta(ge=0, le=LARGEST_INTEGER)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=LARGEST_COUNT)]
Time = typing.Annotated[float, msgspec.Meta(ge=0, le=LARGEST_TIME)]
Lease = typing.Annotated[float, msgspec.Meta(ge=0, le=LONGEST_LEASE)]
Age = typing.Annotated[float, msgspec.Meta(ge=0, le=LARGEST_AGE)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=LARGEST_COUNT)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
