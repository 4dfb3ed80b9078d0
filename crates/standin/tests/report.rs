//! Guards against a report whose counts differ from the log lines.

use std::{fs, path::PathBuf};

use standin::report::{ReportError, RunBin, RunSeries, draw_report};

const LOG: &str = "\
2026-01-02T10:00:00.000Z [INFO] event=engine_weights address=10.0.0.1:80 loaded=[(\"m\",1)] orders=1
2026-01-02T10:00:00.100Z [INFO] event=request_ended request=a result=answered status=200 sends=0 first_ms=120 predicted_ms=100
2026-01-02T10:00:00.200Z [INFO] event=request_ended request=b result=answered status=200 sends=0 first_ms=900 predicted_ms=960
2026-01-02T10:00:00.700Z [INFO] event=request_ended request=c result=overloaded status=503 first_ms=-1
2026-01-02T10:00:00.800Z [INFO] event=refused request=d cause=stopping status=503
2026-01-02T10:00:00.900Z [INFO] event=request_ended request=e result=lost status=502 first_ms=-1
2026-01-02T10:00:01.600Z [WARN] event=engine_lost address=10.0.0.1:80 error=\"timeout\"
not a line of a log
";

#[test]
fn bins_match_the_log_lines() {
    let series = RunSeries::new([LOG].into_iter(), 400);
    let bin = |on_time, late, refused, failed, engines| RunBin {
        on_time,
        late,
        refused,
        failed,
        engines,
    };
    let expected = [bin(1, 1, 0, 0, 1), bin(0, 0, 2, 1, 1), bin(0, 0, 0, 0, 1), bin(0, 0, 0, 0, 0)];
    assert_eq!(series.bins, expected);
}

#[test]
fn drawing_is_written_and_missing_logs_are_named() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let (log, empty, out) =
        (folder.join("run.log"), folder.join("empty.log"), folder.join("run.svg"));
    fs::write(&log, LOG).expect("the folder exists");
    fs::write(&empty, "").expect("the folder exists");
    let forecast = draw_report(&[&log], &out, 400).expect("the report is drawn");
    assert_eq!((forecast.requests, forecast.bias_ms, forecast.error_ms), (2, 20.0, 40.0));
    let drawn = fs::read_to_string(&out).expect("the drawing was written");
    assert!(drawn.contains("<svg") && drawn.contains("engines with weights"));

    assert!(matches!(draw_report(&[&empty], &out, 400), Err(ReportError::Empty)));
    let missing = folder.join("missing.log");
    let error = draw_report(&[&missing], &out, 400).expect_err("the log file does not exist");
    assert!(error.to_string().contains("missing.log"));
}
