"""The adapter to the users' platform.

It translates and decides nothing: each name of the platform's wire is decoded
here, once, into a type of the product. Nothing outside this folder but the root
(:mod:`eelgrass_node.entry_node`) imports it.
"""
