"""Adapter to the platform that runs the nodes.

Decodes the platform's wire formats, each in one place, into types of this project
and encodes them back; it makes no decisions. Of the node's other modules only the
root (:mod:`eelgrass_node.entry_node`) imports it.
"""
