"""What upstreams say of themselves in answers, at one gateway."""

from trestlestall.daemon import events
from trestlestall.daemon.gateway import (
    attempts,
    knowledge as knowledges,
    metrics as gateway_metrics,
)
from trestlestall.forwarding import notices, upstreams

#: What an upstream says that says nothing.
NOTHING = notices.Notice()


class Notices:
    """Takes what each answer says of its upstream; the latest by start."""

    def __init__(
        self, knowledge: knowledges.Knowledge, metrics: gateway_metrics.Metrics
    ) -> None:
        self._knowledge = knowledge
        self._metrics = metrics
        self._latest: dict[str, notices.Notice] = {}

    def take(
        self,
        row: upstreams.Row,
        answer: attempts.AnswerHead | attempts.NotRun,
        request: str,
    ) -> None:
        """Take what an answer to the request says of the upstream."""
        if answer.status == attempts.MISDIRECTED:
            return  # another incarnation speaks
        notice = answer.notice
        former = self._latest.get(row.identity, NOTHING)
        if notice != former or notice.rest_seconds:
            self._note_changed(row, notice, request)

    def _note_changed(
        self, row: upstreams.Row, notice: notices.Notice, request: str
    ) -> None:
        known = self._knowledge.table.rows
        if len(self._latest) > len(known):
            kept = {one: said for one, said in self._latest.items() if one in known}
            self._latest = kept
        self._latest[row.identity] = notice
        for kind in list_kinds(notice):
            self._metrics.notices.labels(kind).inc()
        self._knowledge.log.write(
            events.forwarding.NOTICE,
            upstream=row.identity,
            service=row.service,
            address=row.address,
            request=request,
            limit=notice.limit,
            leaves=notice.leaves,
            rest_seconds=notice.rest_seconds,
            unreadable=list(notice.unreadable),
        )


def list_kinds(notice: notices.Notice) -> list[str]:
    """Return the kinds of what a notice says, for the metrics."""
    found = {
        "limit": notice.limit is not None,
        "leaves": notice.leaves,
        "rest": notice.rest_seconds > 0,
        "unreadable": bool(notice.unreadable),
    }
    return [kind for kind, is_said in found.items() if is_said]
