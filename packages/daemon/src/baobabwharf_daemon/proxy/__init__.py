"""Pass requests of a deployment to endpoints byte for byte."""
