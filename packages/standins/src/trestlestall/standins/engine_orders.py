"""The engine's HTTP for orders and KV transfer; importing it fills the routes."""

import dataclasses

import eventlet

from trestlestall.standins import caching, engine_http, loading, orders, web

ROUTES = engine_http.ROUTES
KV_SECONDS_PER_BLOCK = 0.0005


@ROUTES.add("POST", "/v1/orders")
def receive_order(panel: engine_http.Panel, call: web.Call) -> web.Reply:
    """Judge an order by its fencing number and begin to carry it out.

    The answer comes before the work is done; ``/v1/state`` tells how it ended.
    """
    order = orders.read(call.read_json())
    if isinstance(order, orders.Malformed):
        return web.reply_error(400, "invalid_order", order.message)
    verdict = panel.book.receive(order)
    if isinstance(verdict, orders.Stale):
        return web.reply_error(409, "stale_fence", f"{verdict.highest} was seen")
    if isinstance(verdict, orders.Accepted):
        CARRIERS[order.kind](panel, order)
    repeated = isinstance(verdict, orders.Repeated)
    return web.reply_json(200, {"accepted": True, "repeated": repeated})


def load(panel: engine_http.Panel, order: orders.Order) -> None:
    """Begin to load; requests for what is held now go on meanwhile."""
    panel.loads[order.target] = orders.LOADING
    eventlet.spawn(finish_load, panel, order)


def finish_load(panel: engine_http.Panel, order: orders.Order) -> None:
    """Fetch the weights and offer the model or adapter from then on."""
    settings = panel.core.settings
    found = loading.fetch(
        settings.weights, order.target, order.version, settings.load_seconds
    )
    if isinstance(found, loading.NotFetched):
        panel.loads[order.target] = f"{orders.FAILED}: {found.reason}"
        return
    panel.loads[order.target] = orders.LOADED
    held = panel.adapters if order.adapter else panel.models
    held[order.target] = order.version
    panel.on_models_changed()


def unload(panel: engine_http.Panel, order: orders.Order) -> None:
    """Offer the model or adapter no longer; what runs goes on."""
    held = panel.adapters if order.adapter else panel.models
    held.pop(order.target, None)
    panel.loads.pop(order.target, None)
    panel.on_models_changed()


def take_role(panel: engine_http.Panel, order: orders.Order) -> None:
    """Take another role, such as prefill or decode."""
    panel.role = order.role


CARRIERS = {"load": load, "unload": unload, "role": take_role}


@ROUTES.add("GET", "/v1/state")
def read_state(panel: engine_http.Panel, call: web.Call) -> web.Reply:
    """Tell what the engine holds, which orders it took and its load right now."""
    document = {
        **panel.list_models(),
        "versions": {**panel.models, **panel.adapters},
        "loads": panel.loads,
        "role": panel.role,
        "fence": panel.book.highest,
        "orders": panel.book.describe(),
        "load": dataclasses.asdict(panel.core.measure_load()),
    }
    return web.reply_json(200, document)


@ROUTES.add("POST", "/v1/kv/export")
def export_kv(panel: engine_http.Panel, call: web.Call) -> web.Reply:
    """Hand out the cached blocks of ``{"prompt": TEXT}``, from its start on."""
    text = str((call.read_json() or {}).get("prompt", ""))
    blocks = caching.hash_blocks(text)
    held = blocks[: panel.core.cache.count_hits(blocks)]
    eventlet.sleep(len(held) * KV_SECONDS_PER_BLOCK)
    return web.reply_json(200, {"blocks": held})


@ROUTES.add("POST", "/v1/kv/import")
def import_kv(panel: engine_http.Panel, call: web.Call) -> web.Reply:
    """Take in the blocks that another engine exported."""
    blocks = (call.read_json() or {}).get("blocks")
    if not isinstance(blocks, list) or not all(isinstance(b, str) for b in blocks):
        return web.reply_error(400, "invalid_blocks", "blocks must be a list of text")
    eventlet.sleep(len(blocks) * KV_SECONDS_PER_BLOCK)
    change = panel.core.cache.use(tuple(blocks))
    panel.core.publish(change)
    return web.reply_json(200, {"stored": len(change.stored)})
