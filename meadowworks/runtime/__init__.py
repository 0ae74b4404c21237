"""The plumbing under the gateway's programs: settings, logs, serving by uvicorn, calling by httpcore.

Decides nothing about traffic or state.
"""
