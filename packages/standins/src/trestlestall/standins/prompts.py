"""Prompts of the stand-in engine, and the answers derived from them.

Pure. The answer depends on the model and the prompt only, so that a test can tell which
prompt an answer belongs to, whether it is complete, and whether parts from two engines
belong together.

Each token of an answer is ``HASH-N ``: the prompt's hash and the token's index. The
length is derived from the hash and is either short or long, unless the prompt sets it
by ``[length 37]``.
"""

import dataclasses
import hashlib
import json
import re

SHORT_LENGTHS = (20, 60)
LONG_LENGTHS = (200, 600)
LONG_SHARE = 0.2
CHARACTERS_PER_TOKEN = 4
LENGTH_MARK = re.compile(r"\[length (\d{1,6})\]")


@dataclasses.dataclass(frozen=True)
class Prompt:
    """A prompt for a model; ``identity`` is the hash that its answer consists of."""

    model: str
    text: str
    identity: str

    @property
    def tokens(self) -> int:
        """The prompt's length in tokens."""
        return len(self.text) // CHARACTERS_PER_TOKEN + 1


@dataclasses.dataclass(frozen=True)
class Malformed:
    """The body has no valid prompt; ``message`` says why."""

    message: str


def make_prompt(model: str, text: str) -> Prompt:
    """Return the prompt with its identity."""
    digest = hashlib.sha256(f"{model}\n{text}".encode()).hexdigest()
    return Prompt(model, text, digest[:10])


def join_messages(messages: list[dict]) -> str:
    """Return the text of chat messages, one line with role and content each."""
    return "\n".join(
        f"{message['role']}: {read_content(message)}" for message in messages
    )


def read_content(message: dict) -> str:
    """Return the message's content as text; structured content as JSON."""
    content = message.get("content")
    return content if isinstance(content, str) else json.dumps(content, sort_keys=True)


def read_chat(body: dict) -> Prompt | Malformed:
    """Return the prompt of a chat completion's body."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return Malformed("messages must be a list of at least one message")
    if not all(isinstance(each, dict) and "role" in each for each in messages):
        return Malformed("each message must be an object with a role")
    return read_model(body, join_messages(messages))


def read_completion(body: dict) -> Prompt | Malformed:
    """Return the prompt of a plain completion's body."""
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        return Malformed("prompt must be text")
    return read_model(body, prompt)


def read_model(body: dict, text: str) -> Prompt | Malformed:
    """Return the prompt for the body's model."""
    model = body.get("model")
    if not isinstance(model, str) or not model:
        return Malformed("model must be text")
    return make_prompt(model, text)


def draw_length(prompt: Prompt) -> int:
    """Return the number of tokens of the complete answer, without ``max_tokens``."""
    mark = LENGTH_MARK.search(prompt.text)
    if mark:
        return max(1, int(mark.group(1)))
    number = int(prompt.identity, 16)
    kind = (number % 1000) / 1000
    low, high = LONG_LENGTHS if kind < LONG_SHARE else SHORT_LENGTHS
    return low + (number // 1000) % (high - low + 1)


def write_token(prompt: Prompt, index: int) -> str:
    """Return the token at an index, counted from 0."""
    return f"{prompt.identity}-{index} "


def write_answer(prompt: Prompt, start: int, end: int) -> str:
    """Return the tokens from ``start`` up to ``end``, exclusive, as one text.

    >>> write_answer(make_prompt("m1", "user: hi"), 0, 2).count("-")
    2
    """
    return "".join(write_token(prompt, index) for index in range(start, end))
