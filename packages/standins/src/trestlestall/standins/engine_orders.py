"""The engine's HTTP for orders and KV transfer; importing it registers the routes."""

import dataclasses

import eventlet

from trestlestall.standins import caching, engine_http, loading, orders, web

ROUTES = engine_http.ROUTES
KV_SECONDS_PER_BLOCK = 0.0005


@ROUTES.add("POST", "/v1/orders")
def receive_order(panel: engine_http.Panel, call: web.Call) -> web.Reply:
    """Check an order's fencing token, and start its execution.

    The response is sent before the execution ends; ``/v1/state`` shows its result.
    """
    order = orders.read(call.read_json())
    if isinstance(order, orders.Malformed):
        return web.reply_error(400, "invalid_order", order.message)
    verdict = panel.order_log.receive(order)
    if isinstance(verdict, orders.Stale):
        return web.reply_error(409, "stale_fence", f"{verdict.highest} was seen")
    if isinstance(verdict, orders.Accepted):
        ORDER_HANDLERS[order.kind](panel, order)
    repeated = isinstance(verdict, orders.Repeated)
    return web.reply_json(200, {"accepted": True, "repeated": repeated})


def load(panel: engine_http.Panel, order: orders.Order) -> None:
    """Start loading; requests for loaded models are served meanwhile."""
    panel.loads[order.target] = orders.LOADING
    eventlet.spawn(finish_load, panel, order)


def finish_load(panel: engine_http.Panel, order: orders.Order) -> None:
    """Fetch the weights, then offer the model or adapter."""
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
    """Stop offering the model or adapter; running requests continue."""
    held = panel.adapters if order.adapter else panel.models
    held.pop(order.target, None)
    panel.loads.pop(order.target, None)
    panel.on_models_changed()


def set_role(panel: engine_http.Panel, order: orders.Order) -> None:
    """Change the engine's role, for instance to prefill or decode."""
    panel.role = order.role


ORDER_HANDLERS = {"load": load, "unload": unload, "role": set_role}


@ROUTES.add("GET", "/v1/state")
def read_state(panel: engine_http.Panel, call: web.Call) -> web.Reply:
    """Return loaded models and adapters, accepted orders and the current load."""
    document = {
        **panel.list_models(),
        "versions": {**panel.models, **panel.adapters},
        "loads": panel.loads,
        "role": panel.role,
        "fence": panel.order_log.highest,
        "orders": panel.order_log.describe(),
        "load": dataclasses.asdict(panel.core.measure_load()),
    }
    return web.reply_json(200, document)


@ROUTES.add("POST", "/v1/kv/export")
def export_kv(panel: engine_http.Panel, call: web.Call) -> web.Reply:
    """Return the leading cached blocks of ``{"prompt": TEXT}``."""
    text = str((call.read_json() or {}).get("prompt", ""))
    blocks = caching.hash_blocks(text)
    held = blocks[: panel.core.cache.count_hits(blocks)]
    eventlet.sleep(len(held) * KV_SECONDS_PER_BLOCK)
    return web.reply_json(200, {"blocks": held})


@ROUTES.add("POST", "/v1/kv/import")
def import_kv(panel: engine_http.Panel, call: web.Call) -> web.Reply:
    """Store blocks that another engine exported."""
    blocks = (call.read_json() or {}).get("blocks")
    if not isinstance(blocks, list) or not all(isinstance(b, str) for b in blocks):
        return web.reply_error(400, "invalid_blocks", "blocks must be a list of text")
    eventlet.sleep(len(blocks) * KV_SECONDS_PER_BLOCK)
    change = panel.core.cache.use(tuple(blocks))
    panel.core.publish(change)
    return web.reply_json(200, {"stored": len(change.stored)})
