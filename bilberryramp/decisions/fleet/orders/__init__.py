"""Which engine holds which model, and who orders it to.

planner, placement
    Assignment of models to engines.
agent
    Orders to one engine to load or unload models and adapters.
order_holders
    Assignment of each engine to the node that orders it.
"""
