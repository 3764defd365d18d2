"""Completions in OpenAI's published format, whole and streamed."""

import json
import typing
from collections import abc

from trestlestall.standins import prompts

END_OF_STREAM = b"data: [DONE]\n\n"
FINISH_REASONS = {"cancelled": "abort", "broken": "error"}


class Shape(typing.NamedTuple):
    """How one interface, chat or plain completion, reads prompts and wraps text."""

    read_prompt: abc.Callable[[dict], prompts.Prompt | prompts.Malformed]
    identity: str
    whole_object: str
    chunk_object: str
    wrap_whole: abc.Callable[[str], dict]
    wrap_chunk: abc.Callable[[str], dict]


def wrap_message(text: str) -> dict:
    """Return the message fields of a choice in a chat completion."""
    return {"message": {"role": "assistant", "content": text}}


def wrap_delta(text: str) -> dict:
    """Return the delta fields of a choice in a chat chunk."""
    return {"delta": {"content": text} if text else {}}


def wrap_text(text: str) -> dict:
    """Return the text fields of a choice in a plain completion."""
    return {"text": text}


CHAT = Shape(
    prompts.read_chat,
    "chatcmpl",
    "chat.completion",
    "chat.completion.chunk",
    wrap_message,
    wrap_delta,
)
PLAIN = Shape(
    prompts.read_completion,
    "cmpl",
    "text_completion",
    "text_completion",
    wrap_text,
    wrap_text,
)


def count_usage(prompt: prompts.Prompt, cached: int, made: int) -> dict:
    """Return the usage object of a completion."""
    return {
        "prompt_tokens": prompt.tokens,
        "completion_tokens": made,
        "total_tokens": prompt.tokens + made,
        "prompt_tokens_details": {"cached_tokens": cached},
    }


def write_whole(
    shape: Shape,
    attempt: str,
    prompt: prompts.Prompt,
    text: str,
    reason: str,
    usage: dict,
) -> dict:
    """Return a complete response body."""
    choice = {"index": 0, **shape.wrap_whole(text), "finish_reason": reason}
    return {
        "id": f"{shape.identity}-{attempt}",
        "object": shape.whole_object,
        "model": prompt.model,
        "choices": [choice],
        "usage": usage,
    }


def write_chunk(
    shape: Shape, attempt: str, prompt: prompts.Prompt, text: str, reason: str | None
) -> bytes:
    """Return one event of a stream."""
    choice = {"index": 0, **shape.wrap_chunk(text), "finish_reason": reason}
    return write_event(
        {
            "id": f"{shape.identity}-{attempt}",
            "object": shape.chunk_object,
            "model": prompt.model,
            "choices": [choice],
        }
    )


def write_usage_chunk(
    shape: Shape, attempt: str, prompt: prompts.Prompt, usage: dict
) -> bytes:
    """Return the event with the usage, sent if the caller asked for it."""
    return write_event(
        {
            "id": f"{shape.identity}-{attempt}",
            "object": shape.chunk_object,
            "model": prompt.model,
            "choices": [],
            "usage": usage,
        }
    )


def write_event(document: dict) -> bytes:
    """Return a server-sent event with the document as its data."""
    return b"data: " + json.dumps(document).encode() + b"\n\n"
