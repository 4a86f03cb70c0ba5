"""The programs banyanline-balancer, banyanline-config and banyanline-status."""
