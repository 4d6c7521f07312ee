package lavendertrail.standins

import lavendertrail.model.CallId
import lavendertrail.model.Message
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.ports.GenerateRequest

internal val TEST_MODEL = ModelId("assist-model")

internal val TEST_CALL = CallId(ProgramId("batinah-02a-test"), 0)

internal fun testRequest(
    model: ModelId = TEST_MODEL,
    vararg texts: String,
): GenerateRequest =
    GenerateRequest(
        call = TEST_CALL,
        attempt = 1,
        model = model,
        messages = texts.map { Message("user", it) },
        chainHashes = emptyList(),
        maxTokens = 1_000,
        temperature = 0.0,
        priority = 0,
        deadlineMillis = System.currentTimeMillis() + 30_000,
        idleLimitMillis = 3_000,
    )
