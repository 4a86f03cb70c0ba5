"""The command-line programs banyanline-balancer, banyanline-config and banyanline-status."""
