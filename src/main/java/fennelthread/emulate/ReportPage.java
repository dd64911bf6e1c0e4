package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.RunReport.Sample;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes a run's report as one HTML page with its plots in it. */
final class ReportPage {
  private final RunReport report;
  private final StringBuilder html = new StringBuilder();

  ReportPage(RunReport report) {
    this.report = report;
  }

  /** Writes the page. */
  void write(Path file) throws IOException {
    System.setProperty("java.awt.headless", "true");
    html.append(
        """
        <!DOCTYPE html>
        <html lang="en"><head><meta charset="utf-8"><title>fennelthread emulate</title>
        <style>body{font-family:sans-serif;max-width:60em;margin:1em auto}
        table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;text-align:right;
        border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}
        .bad{color:#b00}pre{background:#f4f4f4;padding:.7em;overflow:auto}</style></head><body>
        """);
    summary();
    plots();
    waits();
    processes();
    faults();
    html.append("<h2>Configuration</h2><pre>").append(escape(report.configuration()));
    html.append("</pre></body></html>\n");
    Files.writeString(file, html.toString(), StandardCharsets.UTF_8);
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }

  private void summary() {
    RunReport.Verdict verdict = report.verdict();
    html.append("<h1>").append(report.scale().workers()).append(" hollow workers, ");
    html.append(report.scale().controllers()).append(" controllers</h1>\n<p><code>");
    html.append(escape(report.command())).append("</code>, ").append(report.startedAt());
    html.append(report.interrupted() ? ", interrupted" : "").append("</p>\n");
    boolean good = verdict.violations() == 0;
    html.append(good ? "<p><b>No rule broken</b>" : "<p class=\"bad\"><b>Rules broken: ");
    html.append(good ? "" : verdict.violations() + "</b>");
    html.append(" in ").append(verdict.checked().starts()).append(" starts, ");
    html.append(verdict.checked().jobs()).append(" jobs and ");
    html.append(verdict.checked().answers()).append(" answers to users.</p>\n");
    for (HistoryChecker.Violation v : verdict.first()) {
      html.append("<p class=\"bad\">").append(RunRecorder.round(v.atS(), 2)).append(" s ");
      html.append(v.rule()).append(": ").append(escape(v.detail())).append("</p>\n");
    }
    header("figure", "value");
    row("starts", report.starts().total());
    row("starts a second, mean", report.starts().perSecond());
    row("starts a second, best 10 s", report.starts().best10S());
    row("tasks on machines, mean", report.starts().meanRunning());
    row("starts of tasks that had begun before", report.starts().restarted());
    row("jobs submitted, accepted", report.users().submitted(), report.users().accepted());
    row("jobs refused, given up", report.users().refused(), report.users().givenUp());
    row("answers to users by status", report.users().answers());
    row(
        "state requests, changes a second",
        report.state().requestsPerS(),
        report.state().changesPerS());
    row(
        "state requests, changes a start",
        report.state().requestsPerStart(),
        report.state().changesPerStart());
    row(
        "controllers' processor for a worker, % of a core",
        report.perWorker().controllersCpuPercentOfACore());
    row("controllers' bytes for a worker, a second", report.perWorker().controllersBytesPerS());
    row("leases that ran out", report.perWorker().expiredLeases());
    row("machine: cores, memory MB", report.environment().cores(), report.environment().memoryMb());
    row(
        "load average before, largest",
        report.environment().loadBefore(),
        report.environment().loadMax());
    row("longest delay of a timer, ms: state, users, workers", delays());
    html.append("</table>\n");
  }

  private String delays() {
    RunReport.Delays delays = report.environment().longestDelays();
    return delays.stateMs() + ", " + delays.usersMs() + ", " + delays.workersMs();
  }

  private void header(String... names) {
    html.append("<table><tr><th>").append(String.join("</th><th>", names)).append("</th></tr>\n");
  }

  private void row(String name, Object... values) {
    html.append("<tr><td>").append(escape(name)).append("</td>");
    for (Object value : values) {
      html.append("<td>").append(escape(String.valueOf(value))).append("</td>");
    }
    html.append("</tr>\n");
  }

  private void waits() {
    html.append("<h2>Waiting times, ms</h2>\n");
    header("what", "count", "p50", "p90", "p99", "max");
    report
        .waits()
        .forEach((name, w) -> row(name, w.count(), w.p50Ms(), w.p90Ms(), w.p99Ms(), w.maxMs()));
    html.append("</table>\n<p>started: from the first attempt to submit to the machine's taking");
    html.append(" the task; running: to its having the image; accepted, done: to the answer that");
    html.append(" says so.</p>\n");
  }

  private void processes() {
    html.append("<h2>Processes</h2>\n");
    header(
        "process",
        "cores mean",
        "cores max",
        "waiting for a core",
        "MB max",
        "descriptors",
        "KB/s in",
        "KB/s out");
    for (RunReport.ProcessUse p : report.processes()) {
      row(
          p.name(),
          p.cpuMean(),
          p.cpuMax(),
          p.coreWaitMean(),
          p.residentMaxMb(),
          p.descriptorsMax(),
          p.readKbPerS(),
          p.writtenKbPerS());
    }
    html.append("</table>\n");
  }

  private void faults() {
    if (!report.faults().isEmpty()) {
      html.append("<h2>Faults</h2>\n");
      header("fault", "at s");
      report.faults().forEach(f -> row(f.what(), RunRecorder.round(f.atS(), 1)));
      html.append("</table>\n");
    }
  }

  private void plots() throws IOException {
    List<Sample> series = report.series();
    if (series.size() < 2) {
      return;
    }
    XYChart starts = chart("Starts and ends a second", "tasks/s");
    line(starts, "starts", Sample::starts);
    line(starts, "completed", Sample::completed);
    draw(starts);
    XYChart tasks = chart("Tasks", "tasks");
    line(tasks, "on machines", Sample::running);
    line(tasks, "waiting", Sample::waiting);
    draw(tasks);
    XYChart state = chart("State service", "a second");
    line(state, "requests", Sample::stateRequests);
    line(state, "changes", Sample::stateChanges);
    draw(state);
    XYChart cpu = chart("Controllers' processor", "cores");
    XYChart memory = chart("Controllers' resident memory", "MB");
    for (int i = 0; i < series.get(0).controllersCpu().size(); i++) {
      int member = i;
      line(cpu, ControllerFleet.name(i), s -> s.controllersCpu().get(member));
      line(memory, ControllerFleet.name(i), s -> s.controllersMb().get(member));
    }
    draw(cpu);
    draw(memory);
  }

  private static XYChart chart(String title, String unit) {
    XYChart chart =
        new XYChartBuilder()
            .width(EmulationConstants.PLOT_WIDTH)
            .height(EmulationConstants.PLOT_HEIGHT)
            .title(title)
            .xAxisTitle("s")
            .yAxisTitle(unit)
            .build();
    chart
        .getStyler()
        .setDefaultSeriesRenderStyle(org.knowm.xchart.XYSeries.XYSeriesRenderStyle.Line);
    return chart;
  }

  private void line(XYChart chart, String name, ToDoubleFunction<Sample> value) {
    double[] x = report.series().stream().mapToDouble(Sample::atS).toArray();
    double[] y = report.series().stream().mapToDouble(value).toArray();
    chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
  }

  private void draw(XYChart chart) throws IOException {
    ByteArrayOutputStream png = new ByteArrayOutputStream();
    BitmapEncoder.saveBitmap(chart, png, BitmapFormat.PNG);
    html.append("<img alt=\"").append(escape(chart.getTitle()));
    html.append("\" src=\"data:image/png;base64,");
    html.append(Base64.getEncoder().encodeToString(png.toByteArray())).append("\">\n");
  }
}
