package fennelthread.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages in the protocol's documented form are read and written, as JSON and as CBOR. */
class CodecTest {

  private static Fields json(String text) throws WireException {
    return Codec.JSON.decode(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }

  private static Fields overCbor(String text) throws WireException {
    return Codec.CBOR.decode(Codec.CBOR.encode(json(text)));
  }

  private static final String JOB =
      "{'name_id':'job-000777','clase':'tejer','dueno':'taller','tipo':'sweep',"
          + "'prioridad':'urgent','tareas':16,'cpus':8.0,'cards':1,'mem_gb':64.5,"
          + "'imagen':'img-03','pull_gb':6.2,'modelos':['g4'],'zona':null,'same_place':true,"
          + "'apart':false,'prestadas':true,'estimado_s':240.0,'resguardo_s':30.0,"
          + "'guardado_s':4.0,'plazo_s':900.0,'novedad':[1,{'x':null}]}";

  @Test
  void submissionIsReadAndWritten() throws WireException {
    JobSpec spec = JobSpec.read(overCbor(JOB));
    assertEquals("job-000777", spec.id());
    assertEquals(Priority.URGENT, spec.priority());
    assertEquals(1.0, spec.cards());
    assertEquals(List.of("g4"), spec.types());
    assertNull(spec.zone());
    assertEquals(900.0, spec.deadlineS());
    assertEquals(spec, JobSpec.read(Codec.CBOR.decode(Codec.CBOR.encode(spec.write()))));
  }

  @Test
  void absentOptionalFieldsHaveDefaults() throws WireException {
    JobSpec spec =
        JobSpec.read(
            overCbor(
                JOB.replace("'modelos':['g4'],'zona':null,", "").replace("'plazo_s':900.0,", "")));
    assertNull(spec.types());
    assertEquals(JobSpec.NO_DEADLINE, spec.deadlineS());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'tareas':16|'tareas':0|tareas",
        "'tareas':16|'tareas':100001|tareas",
        "'tareas':16|'tareas':1.5|tareas",
        "'tareas':16|'tareas':18446744073709551616|tareas",
        "'cpus':8.0|'cpus':-1|cpus",
        "'cpus':8.0|'cpus':'8'|cpus",
        "'cpus':8.0,||cpus",
        "'tipo':'sweep'|'tipo':'gang'|tipo",
        "'prioridad':'urgent'|'prioridad':'soon'|prioridad",
        "'name_id':'job-000777'|'name_id':'task-1'|name_id",
        "'name_id':'job-000777'|'name_id':'job-1/2'|name_id",
        "'modelos':['g4']|'modelos':[4]|modelos",
        "'same_place':true|'same_place':1|same_place",
        "'imagen':'img-03'|'imagen':''|imagen",
      })
  void theFieldAtFaultIsReported(String valid, String invalid, String field) throws WireException {
    Fields body = overCbor(JOB.replace(valid.replace("''", "'"), invalid == null ? "" : invalid));
    WireException e = assertThrows(WireException.class, () -> JobSpec.read(body));
    assertEquals(field, e.field());
  }

  @Test
  void amountsMustBeFinite() throws WireException {
    Fields body = json(JOB).with("mem_gb", Double.NaN);
    Fields back = Codec.CBOR.decode(Codec.CBOR.encode(body));
    assertEquals("mem_gb", assertThrows(WireException.class, () -> JobSpec.read(back)).field());
  }

  /**
   * Empty, a list, a text, a map with a byte string, truncated, with trailing bytes, with a key
   * that is not text, a lone break code, without the first key.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "80", "6161", "a1616141ff", "a16161", "a000", "a10102", "ff", "a1"})
  void bodiesOtherThanMapsOfTextAndNumbersAreRejected(String hex) {
    byte[] body = HexFormat.of().parseHex(hex);
    assertThrows(
        WireException.class,
        () -> {
          Fields fields = Codec.CBOR.decode(body);
          fields.text("a");
        });
  }

  @Test
  void deepNestingIsRejected() {
    byte[] body = new byte[5_000];
    body[0] = (byte) 0xa1;
    body[1] = 0x61;
    body[2] = 'a';
    java.util.Arrays.fill(body, 3, body.length, (byte) 0x81);
    assertThrows(WireException.class, () -> Codec.CBOR.decode(body));
  }

  @Test
  void reportIsReadAndWritten() throws WireException {
    WorkerReport report =
        WorkerReport.read(
            overCbor(
                "{'equipo':'n-000007','address':'10.1.0.7:9000','modelo':'g4','zona':'b',"
                    + "'prestadas':true,'turno':2,'folio':91,'ficha':1048577,'aviso_s':17.5,"
                    + "'tareas':[{'tarea':'job-000777/3','intento':2,'estado':'running'},"
                    + "{'tarea':'job-000778/0','intento':1,'estado':'ended','motivo':'halted',"
                    + "'kept':true},{'tarea':'job-000779/1','intento':9,'estado':'ended',"
                    + "'motivo':'peers'}]}"));
    assertEquals(2, report.session());
    assertEquals(17.5, report.noticeS());
    assertEquals(new TaskRef("job-000777", 3), report.tasks().get(0).ref());
    assertEquals(WorkerReport.EndReason.HALTED, report.tasks().get(1).endReason());
    assertEquals(WorkerReport.EndReason.OTHER, report.tasks().get(2).endReason());
    WorkerReport again = WorkerReport.read(Codec.CBOR.decode(Codec.CBOR.encode(report.write())));
    assertEquals(report.tasks().subList(0, 2), again.tasks().subList(0, 2));
  }

  @Test
  void commandsAreWrittenInTheDocumentedForm() throws WireException {
    Fields body =
        WorkerCommand.write(
            41,
            0,
            List.of(
                new WorkerCommand.Run(new TaskRef("job-000777", 4), 2),
                new WorkerCommand.Stop(new TaskRef("job-000778", 1), 1, 10),
                new WorkerCommand.Clear(new TaskRef("job-000779", 0), 1)));
    assertEquals(
        "{\"ficha\":41,\"ordenes\":["
            + "{\"orden\":\"run\",\"tarea\":\"job-000777/4\",\"intento\":2},"
            + "{\"orden\":\"stop\",\"tarea\":\"job-000778/1\",\"intento\":1,\"gracia_s\":10.0},"
            + "{\"orden\":\"clear\",\"tarea\":\"job-000779/0\",\"intento\":1}]}",
        new String(Codec.JSON.encode(body), StandardCharsets.UTF_8));
  }

  @Test
  void machineTypesAndMachineListsAreRead() throws WireException {
    MachineType machineType =
        MachineType.readAll(
                overCbor(
                    "{'modelos':[{'label':'g4','cpus':48,'cards':4,'mem_gb':384,'local_gb':120,"
                        + "'pull_gb_per_s':0.7,'hourly':6.0,'low_price':2.5,'startup_s':40,"
                        + "'zonas':['b']}]}"))
            .get(0);
    assertEquals(48, machineType.cpus());
    assertEquals(List.of("b"), machineType.zones());
    MachineEntry entry =
        MachineEntry.readAll(
                overCbor(
                    "{'equipos':[{'name_id':'n-000007','address':'10.1.0.7:9000','modelo':'g4',"
                        + "'zona':'b','prestadas':false,'estado':'starting','held_s':3.5}],"
                        + "'more':false}"))
            .get(0);
    assertEquals(MachineEntry.STARTING, entry.state());
  }
}
