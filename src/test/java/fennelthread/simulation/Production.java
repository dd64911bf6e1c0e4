package fennelthread.simulation;

import fennelthread.net.EventLoop;
import fennelthread.net.Service;
import fennelthread.settings.Settings;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/**
 * The version in production, as {@code deploy/service.toml} names it: its sources come from the
 * repository's own history, are compiled once a run and loaded by a loader of their own, so that
 * controllers of both versions serve in one simulated world. What the simulation itself speaks, the
 * event loop below a controller and its messages, is shared; all else is the old version's.
 */
final class Production {
  private static final List<String> SHARED =
      List.of(
          "fennelthread.net.",
          "fennelthread.wire.Codec",
          "fennelthread.wire.Fields",
          "fennelthread.wire.WireException");

  /** Names of shared types that have changed since the version in production, by today's names. */
  private static final Map<Pattern, String> SHARED_NAMES =
      Map.of(Pattern.compile("\\bHost\\b(?!:)"), "EventLoop");

  private static final Loader LOADER = load();

  /** Clusters whose deployment says so begin with the version in production from now on. */
  static void serve() {
    SimulatedCluster.productionControllerFactory = Production::controller;
  }

  private Production() {}

  /** A controller of the old version; {@code limits} are those that it knows of. */
  static SimulatedCluster.ControllerHandle controller(
      EventLoop eventLoop, Settings settings, Settings.StateLimits limits) {
    try {
      Path file = Files.createTempFile("production", ".toml");
      try {
        Files.writeString(file, toml(settings, limits));
        Class<?> settingsClass = LOADER.loadClass("fennelthread.settings.Settings");
        Class<?> optionsClass = LOADER.loadClass("fennelthread.settings.Options");
        Class<?> type = LOADER.loadClass("fennelthread.Controller");
        Object controller =
            type.getConstructor(EventLoop.class, settingsClass, optionsClass)
                .newInstance(
                    eventLoop,
                    settingsClass.getMethod("load", Path.class).invoke(null, file),
                    optionsClass.getField("DEFAULTS").get(null));
        return node(type, controller);
      } finally {
        Files.delete(file);
      }
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("the version in production can't be started", e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static SimulatedCluster.ControllerHandle node(Class<?> type, Object controller) {
    return new SimulatedCluster.ControllerHandle() {
      @Override
      public Service api() {
        return (Service) call("api");
      }

      @Override
      public Service peerService() {
        return (Service) call("mesh");
      }

      @Override
      public void start() {
        call("start");
      }

      @Override
      public boolean isLeading() {
        return (Boolean) call("isLeading");
      }

      private Object call(String method) {
        try {
          return type.getMethod(method).invoke(controller);
        } catch (ReflectiveOperationException e) {
          throw new IllegalStateException("the version in production has no " + method, e);
        }
      }
    };
  }

  private static String toml(Settings s, Settings.StateLimits limits) {
    StringBuilder t = new StringBuilder();
    t.append("member = \"").append(s.member()).append("\"\n");
    t.append("site = \"").append(s.site()).append("\"\n");
    t.append("api_addr = \"").append(s.apiAddr()).append("\"\n");
    t.append("mesh_addr = \"").append(s.peerAddr()).append("\"\n");
    for (Settings.Peer peer : s.peers()) {
      t.append("[[siblings]]\nmember = \"").append(peer.member());
      t.append("\"\naddr = \"").append(peer.addr()).append("\"\n");
    }
    t.append("[endpoints]\ncloud = \"").append(s.cloudAddr());
    t.append("\"\nstate = \"").append(s.stateAddr()).append("\"\n");
    t.append("[cluster]\nzones = [\"").append(String.join("\", \"", s.zones())).append("\"]\n");
    for (Settings.Team team : s.teams().values()) {
      t.append("[[cluster.teams]]\nname = \"").append(team.name());
      t.append("\"\ncpus = ").append(team.cpus()).append("\ncpus_max = ").append(team.cpusMax());
      t.append("\ngpus = ").append(team.cards()).append("\ngpus_max = ").append(team.cardsMax());
      t.append('\n');
    }
    for (Settings.Objective o : s.objectives()) {
      t.append("[[cluster.objectives]]\nkind = \"").append(o.kind());
      t.append("\"\nclass = \"").append(o.jobClass());
      t.append("\"\nwithin_s = ").append(o.withinS()).append("\nshare = ").append(o.share());
      t.append('\n');
    }
    t.append("[cluster.workers]\nreport_s = ").append(s.workers().reportMs() / 1000.0);
    t.append("\nlease_s = ").append(s.workers().leaseMs() / 1000.0);
    t.append("\ncancel_s = ").append(s.workers().cancelMs() / 1000.0).append('\n');
    t.append("[cluster.state]\nrps = ").append(limits.rps());
    t.append("\nwrite_rps = ").append(limits.writeRps());
    t.append("\nvalue_kb = ").append(limits.valueBytes() / 1024.0);
    t.append("\ntxn_ops = ").append(limits.txnOps()).append('\n');
    t.append("[cluster.cloud]\nrps = ").append(s.cloud().rps());
    t.append("\nlist_lag_s = ").append(s.cloud().listLagMs() / 1000.0).append('\n');
    t.append("[cluster.machine_limits]\nmax_connections = ")
        .append(s.maxConnections())
        .append('\n');
    return t.toString();
  }

  /** Looks into the old version first, but for what both share. */
  private static final class Loader extends URLClassLoader {
    Loader(URL classes) {
      super(new URL[] {classes}, Production.class.getClassLoader());
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
      if (!name.startsWith("fennelthread.") || SHARED.stream().anyMatch(name::startsWith)) {
        return super.loadClass(name, resolve);
      }
      synchronized (getClassLoadingLock(name)) {
        Class<?> known = findLoadedClass(name);
        return known == null ? findClass(name) : known;
      }
    }
  }

  private static Loader load() {
    try {
      String toml = Files.readString(Path.of("deploy", "service.toml"));
      Matcher m = Pattern.compile("(?m)^production = \"([0-9a-f]{40})\"$").matcher(toml);
      if (!m.find()) {
        throw new IllegalStateException("deploy/service.toml names no production");
      }
      Path home = Files.createDirectories(Path.of("target", "production"));
      Path classes = home.resolve(m.group(1) + "-classes");
      try (FileChannel channel =
              FileChannel.open(
                  home.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
          FileLock lock = channel.lock()) {
        // Test processes run side by side: the first one compiles, the others find the classes.
        if (lock.isValid() && !Files.isDirectory(classes)) {
          Path part = Files.createTempDirectory(home, "part");
          compile(unpack(m.group(1), part.resolve("sources")), part.resolve("classes"));
          Files.move(part.resolve("classes"), classes, StandardCopyOption.ATOMIC_MOVE);
        }
      }
      return new Loader(classes.toUri().toURL());
    } catch (MalformedURLException e) {
      throw new IllegalStateException(e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes the sources of a commit into a folder; returns the files. */
  private static List<String> unpack(String commit, Path sources) throws IOException {
    List<String> files = new ArrayList<>();
    try (ZipInputStream zip = new ZipInputStream(new ByteArrayInputStream(archive(commit)))) {
      for (ZipEntry e = zip.getNextEntry(); e != null; e = zip.getNextEntry()) {
        if (e.getName().endsWith(".java")) {
          Path file = sources.resolve(renamed(e.getName()));
          Files.createDirectories(file.getParent());
          Files.writeString(file, renamed(new String(zip.readAllBytes(), StandardCharsets.UTF_8)));
          files.add(file.toString());
        }
      }
    }
    return files;
  }

  /** A text of the old version with the names that the shared types have today. */
  private static String renamed(String text) {
    String today = text;
    for (Map.Entry<Pattern, String> name : SHARED_NAMES.entrySet()) {
      today = name.getKey().matcher(today).replaceAll(name.getValue());
    }
    return today;
  }

  private static byte[] archive(String commit) throws IOException {
    Process git =
        new ProcessBuilder("git", "archive", "--format=zip", commit, "src/main/java")
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    try (InputStream out = git.getInputStream()) {
      byte[] zip = out.readAllBytes();
      if (git.waitFor() != 0) {
        throw new IllegalStateException("git has no " + commit + ": the whole history is needed");
      }
      return zip;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void compile(List<String> files, Path classes) throws IOException {
    Files.createDirectories(classes);
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    StringWriter errors = new StringWriter();
    List<String> options =
        List.of(
            "-proc:none",
            "-nowarn",
            "-d",
            classes.toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "-encoding",
            StandardCharsets.UTF_8.name());
    try (var manager = compiler.getStandardFileManager(null, null, StandardCharsets.UTF_8)) {
      boolean good =
          compiler
              .getTask(
                  errors,
                  manager,
                  null,
                  options,
                  null,
                  manager.getJavaFileObjectsFromStrings(files))
              .call();
      if (!good) {
        throw new IllegalStateException("production does not compile: " + errors);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
