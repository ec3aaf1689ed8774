"""The command line of eelgrassward's operators."""
