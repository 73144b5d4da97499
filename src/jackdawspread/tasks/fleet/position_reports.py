"""Reports of acknowledged positions in the store.

Each instance has at most one small record for each group, which its later reports
overwrite. The records are not removed: a report with a lower token than that of an
attempt does not count for it.
"""

from absl import logging
from msgspec.json import encode

from jackdawspread.codecs.stored_json import decode_stored
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.reported_positions import ReportedPositions
from jackdawspread.messages.fleet.stored_record import StoredRecord
from jackdawspread.tasks.fleet.promotion_log import describe_acknowledged
from jackdawspread.tasks.fleet.record_client import RecordClient

# Prefix of the names of the records, which is followed by the group and the instance.
REPORT_PREFIX = "acknowledged-"


async def write_report(
    records: RecordClient, group: str, report: ReportedPositions
) -> None:
    """Write the report of an instance once, and log the result."""
    outcome = await records.put(_report_name(group, report.instance), encode(report))
    if outcome.status is RecordStatus.DONE:
        logging.info(
            "acknowledgements: positions reported group=%s token=%d %s",
            group,
            report.token,
            describe_acknowledged(report.acknowledged),
        )
    else:
        logging.warning(
            "acknowledgements: positions not reported group=%s token=%d reason=%s",
            group,
            report.token,
            outcome.status.value,
        )


async def read_reports(
    records: RecordClient, group: str
) -> list[ReportedPositions] | None:
    """Return the readable reports of a group; None if the store did not answer."""
    stored = await records.list(_report_name(group, ""))
    if stored is None:
        return None
    decoded = ((record.name, _decode_report(record)) for record in stored)
    # The name of another group may begin with that of this group and a hyphen.
    return [
        report
        for name, report in decoded
        if report is not None and name == _report_name(group, report.instance)
    ]


def _report_name(group: str, instance: str) -> str:
    return f"{REPORT_PREFIX}{group}-{instance}"


def _decode_report(record: StoredRecord) -> ReportedPositions | None:
    try:
        return decode_stored(record.value, ReportedPositions)
    except ValueError as error:
        logging.error(
            "acknowledgements: report ignored name=%s reason=%r", record.name, error
        )
        return None
