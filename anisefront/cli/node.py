"""`anisefront node`: one gateway instance of the RESP platform, configured by its environment."""

from __future__ import annotations

import os
import sys

import click


@click.command()
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
def node(log_level: str) -> None:
    """Run one gateway instance of the platform in the foreground, configured by PROXY_CONFIG and other variables.

    SIGHUP reloads the file, SIGTERM drains, a second SIGTERM stops at once.
    """
    from anisefront.daemon import process
    from anisefront.resp_gateway.errors import InstanceConfigError
    from anisefront.resp_gateway.instance_config import InstanceConfig, parse_config, read_config_file
    from anisefront.resp_gateway.instance import RespGatewayInstance

    path = os.environ.get("PROXY_CONFIG", "")
    if not path:
        raise click.ClickException("PROXY_CONFIG is not set; it must be the path of the configuration file")

    def read_config() -> InstanceConfig:
        return parse_config(read_config_file(path), os.environ)

    try:
        config = read_config()
    except InstanceConfigError as error:
        raise click.ClickException(str(error)) from error
    exit_code = process.run(
        lambda reactor, on_fault: RespGatewayInstance(config, reactor, on_fault=on_fault),
        log_level,
        config.name,
        RespGatewayInstance.prepare,
        lambda instance: instance.reload(read_config),
    )
    sys.exit(exit_code)
